# Three exchanges, a few calls: the shortest way to see everything run.
title  = "first calls"
kernel = "epoll"
length = "5s"

fleet {
  exchanges      = 3
  regions        = ["north"]
  calls_a_second = 5
  no_group       = 0
}

bearer "line-render" { holding = "2s" }
