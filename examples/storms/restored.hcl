# A region cut off and restored while 120% of the plan is offered.
title  = "region restored"
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
  redials = 6
}

load {
  level = 1.2
}

trouble "region cut off" {
  kind   = "region_cut"
  at     = "15s"
  length = "8s"
  region = "south"
}
must {
  storms       = ["retry"]
  back_to      = 0.95
  back_within  = "30s"
  pressed_most = 2
}
