# Half as many calls again, all first ones, which the network carries: no storm.
base   = "../town.hcl"
title  = "honest surge"
length = "40s"

load {
  level = 0.6
}

trouble "surge" {
  kind   = "surge"
  at     = "10s"
  length = "15s"
  figure = 1.5
}
must {
  no_storms   = ["retry", "return", "reconnect"]
  back_within = "10s"
  pressed_most = 0
}
