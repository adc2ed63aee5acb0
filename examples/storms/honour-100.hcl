# Callers of whom 100% keep to the come-back time; they dial up to 13 times.
base   = "../town.hcl"
title  = "100% heed the advice"
length = "60s"

callers {
  redials = 12
  honours = 1.0
}

trouble "region cut off" {
  kind   = "region_cut"
  at     = "15s"
  length = "8s"
  region = "south"
}
