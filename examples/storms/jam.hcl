# A surge leaves the network jammed by repeats when it is over: seen with the parts off.
title  = "jam after a surge"
length = "60s"
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
  storms       = ["retry"]
  back_to     = 0.95
  back_within = "30s"
}
