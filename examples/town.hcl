# A network of eight exchanges in two regions, which scripts take for their base.

fleet {
  exchanges      = 8
  regions        = ["north", "south"]
  calls_a_second = 6
  busy           = 0.72
  no_group       = 0.15
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

must {
  back_to      = 0.95
  back_within  = "30s"
  pressed_most = 2
}
