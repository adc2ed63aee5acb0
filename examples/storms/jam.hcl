# A surge leaves the network jammed by repeats when it is over: seen with the parts off.
base   = "../town.hcl"
title  = "jam after a surge"
length = "60s"

callers {
  redials = 30
  honours = 0
  redial_least = "200ms"
  redial_most  = "400ms"
}

load {
  level = 0.95
}

trouble "surge" {
  kind   = "surge"
  at     = "10s"
  length = "8s"
  figure = 2.5
}
must {
  back_within  = "12s"
  storms       = ["retry"]
  pressed_most = 0
}
