# A region cut off and restored while 120% of the plan is offered.
base   = "../town.hcl"
title  = "region restored"
length = "60s"

trouble "region cut off" {
  kind   = "region_cut"
  at     = "15s"
  length = "8s"
  region = "south"
}
must {
  storms       = ["retry"]
}
