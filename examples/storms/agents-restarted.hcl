# Half the agents are killed and come back in the middle of the storm.
base   = "../town.hcl"
title  = "agents restarted in the storm"
length = "60s"

trouble "region cut off" {
  kind   = "region_cut"
  at     = "15s"
  length = "8s"
  region = "south"
}
trouble "agents killed" {
  kind   = "kill_agent"
  at     = "22s"
  length = "2s"
  who    = [0, 1, 2, 3]
}
