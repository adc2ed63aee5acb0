# All callers dial again after exactly the same time.
base   = "../town.hcl"
title  = "callers in step"
length = "60s"

callers {
  redials = 12
  honours = 0
  redial_least = "500ms"
  redial_most  = "500ms"
}

trouble "region cut off" {
  kind   = "region_cut"
  at     = "15s"
  length = "8s"
  region = "south"
}
