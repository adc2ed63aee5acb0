# One of four gateways of an exchange sends eight times its part and heeds nothing.
title  = "one gateway floods"
length = "45s"
seed   = 1

fleet {
  exchanges      = 6
  regions        = ["north", "south"]
  calls_a_second = 6
  busy           = 0.72
  no_group       = 0.15
  gateways       = 4
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
  level = 1.0
}

trouble "flood" {
  kind   = "flood"
  at     = "10s"
  length = "20s"
  who    = [0, 3]
  figure = 12
}
