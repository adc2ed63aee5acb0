# A bad day for eight exchanges: processors, links, circuits, callers and agents fail, some of it together.
title  = "bad day"
kernel = "epoll"
seed   = 7
length = "75s"

fleet {
  exchanges      = 8
  regions        = ["dakar", "thies"]
  calls_a_second = 6
  busy           = 0.72
  no_group       = 0.15
}

bearer "line-render" {
  share   = 78
  holding = "4s"
}

bearer "reel-render" {
  share   = 22
  holding = "5s"
  revenue = 2
}

load {
  at    = "0s"
  level = 0.9
}
load {
  at    = "20s"
  level = 1.1
}
load {
  at    = "60s"
  level = 0.9
}

trouble "two go silent" {
  kind   = "silent"
  at     = "5s"
  length = "6s"
  who    = [1, 4]
}
trouble "answers go missing" {
  kind   = "answers_lost"
  at     = "9s"
  length = "8s"
  figure = 0.2
}
trouble "agents killed" {
  kind   = "kill_agent"
  at     = "14s"
  length = "3s"
  who    = [0, 3]
}
trouble "surge" {
  kind   = "surge"
  at     = "20s"
  length = "6s"
  figure = 1.5
}
trouble "region cut off" {
  kind   = "region_cut"
  at     = "28s"
  length = "7s"
  region = "thies"
}
trouble "agents killed behind the cut" {
  kind   = "kill_agent"
  at     = "31s"
  length = "2s"
  who    = [5]
}
trouble "hub replaced" {
  kind   = "replace"
  at     = "40s"
  length = "6s"
  who    = [2]
}
trouble "resets in mid-setup" {
  kind   = "resets"
  at     = "42s"
  length = "6s"
  who    = [6]
  figure = 0.2
}
trouble "circuits lost" {
  kind   = "circuits_lost"
  at     = "50s"
  length = "6s"
  region = "dakar"
  figure = 0.5
}
trouble "hot number" {
  kind   = "hot_number"
  at     = "52s"
  length = "8s"
  who    = [7]
  figure = 0.3
}
trouble "calls cut and back" {
  kind   = "cut_calls"
  at     = "62s"
  figure = 0.4
}
trouble "callers out of patience" {
  kind   = "early_leavers"
  at     = "62s"
  length = "6s"
  figure = 0.4
}
trouble "strangers at the door" {
  kind = "garbage"
  at   = "66s"
  who  = [1, 2]
}
