# Callers leave before any come-back time that could be advised.
base   = "../town.hcl"
title  = "patience shorter than the wait"
length = "60s"

callers {
  redials = 6
  patience_least = 0.03
  patience_most  = 0.06
  redial_least = "100ms"
  redial_most  = "300ms"
}

trouble "region cut off" {
  kind   = "region_cut"
  at     = "15s"
  length = "8s"
  region = "south"
}
