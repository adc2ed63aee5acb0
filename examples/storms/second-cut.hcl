# A second cut while the first wave is still coming back.
base   = "../town.hcl"
title  = "storm inside a storm"
length = "70s"

trouble "region cut off" {
  kind   = "region_cut"
  at     = "15s"
  length = "8s"
  region = "south"
}
trouble "cut off again" {
  kind   = "region_cut"
  at     = "26s"
  length = "6s"
  region = "south"
}
