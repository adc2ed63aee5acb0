# All gateways lose their connections at once and come back within the same 50 ms.
title  = "gateways reconnect together"
length = "40s"
seed   = 1

fleet {
  exchanges      = 4
  regions        = ["north", "south"]
  calls_a_second = 6
  busy           = 0.72
  no_group       = 0.15
  gateways       = 30
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
  restart_least = "0ms"
  restart_most  = "50ms"
}

load {
  level = 0.9
}

trouble "all connections lost" {
  kind   = "reconnect"
  share  = 1
  at     = "15s"
  length = "1s"
}
must {
  back_to     = 0.95
  back_within = "20s"
  storms      = ["reconnect"]
}
