# Most standing calls are cut at once, everywhere, and their callers come again, marked.
base   = "../town.hcl"
title  = "mass return"
length = "60s"

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
  back_within  = "20s"
  storms       = ["return"]
  pressed_most = 2.5
}
