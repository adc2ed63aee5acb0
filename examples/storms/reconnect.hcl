# All gateways lose their connections at once and come back within the same 50 ms.
base   = "../town.hcl"
title  = "gateways reconnect together"
length = "40s"

fleet {
  exchanges = 4
  gateways  = 30
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
  back_within = "20s"
  storms      = ["reconnect"]
  pressed_most = 0
}
