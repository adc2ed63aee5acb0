# An exchange of the region starts anew just before the region is restored: rule 4.
base   = "../town.hcl"
title  = "cold hub in the restored region"
length = "60s"

trouble "region cut off" {
  kind   = "region_cut"
  at     = "15s"
  length = "8s"
  region = "south"
}
trouble "cold hub" {
  kind   = "silent"
  at     = "15s"
  length = "7s"
  who    = [1]
}
