# Half as many calls again, all first ones, which the network carries: no storm.
title  = "honest surge"
length = "40s"
seed   = 1

fleet {
  exchanges      = 8
  regions        = ["north", "south"]
  calls_a_second = 6
  busy           = 0.72
  no_group       = 0.15
  gateways       = 1
}

bearer "line-render" {
  share   = 78
  holding = "4s"
}
bearer "reel-render" {
  share   = 22
  holding = "5s"
  revenue = 2
}

callers {
  redials = 6
}

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
  back_to     = 0.95
  back_within = "10s"
}
