# Callers of whom 50% keep to the come-back time; they dial up to 13 times.
base   = "../town.hcl"
title  = "50% heed the advice"
length = "60s"

callers {
  redials = 12
  honours = 0.5
}

trouble "region cut off" {
  kind   = "region_cut"
  at     = "15s"
  length = "8s"
  region = "south"
}
