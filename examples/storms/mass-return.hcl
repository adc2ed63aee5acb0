# Most standing calls are cut at once, everywhere, and their callers come again, marked.
title  = "mass return"
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
  redials = 12
  honours = 0.5
}

load {
  level = 1
}

trouble "calls cut" {
  kind   = "cut_calls"
  at     = "15s"
  length = "1s"
  figure = 0.8
}
must {
  back_to      = 0.95
  back_within  = "20s"
  storms       = ["return"]
  pressed_most = 2.5
}
