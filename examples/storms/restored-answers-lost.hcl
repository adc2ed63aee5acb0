# The same, and a fifth of the answers never come.
base   = "../town.hcl"
title  = "region restored, answers lost"
length = "60s"

trouble "region cut off" {
  kind   = "region_cut"
  at     = "15s"
  length = "8s"
  region = "south"
}
trouble "answers go missing" {
  kind   = "answers_lost"
  at     = "15s"
  length = "18s"
  figure = 0.2
}
