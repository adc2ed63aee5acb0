# Ten thousand calls over real sockets: answers after the caller has given up, resets in mid-setup, repeats.
title  = "ten thousand calls"
kernel = "epoll"
seed   = 10
length = "120s"
calls  = 10000

fleet {
  exchanges      = 6
  calls_a_second = 45
  busy           = 0.6
  no_group       = 0
  spare          = 1.3
}
callers {
  redials = 0
}
bearer "line-render" {
  share        = 78
  holding      = "1s"
  abandon_time = "4s"
  gos_target   = "1s"
}
bearer "reel-render" {
  share        = 22
  holding      = "1500ms"
  abandon_time = "4s"
  gos_target   = "1s"
  revenue      = 2
}

trouble "slow answers" {
  kind   = "slow"
  at     = "5s"
  length = "6s"
  who    = [0, 3]
  figure = 4
}
trouble "callers who leave first" {
  kind   = "early_leavers"
  at     = "6s"
  length = "20s"
  figure = 0.5
}
trouble "resets in mid-setup" {
  kind   = "resets"
  at     = "12s"
  length = "10s"
  who    = [1, 2]
  figure = 0.02
}
trouble "answers go missing" {
  kind   = "answers_lost"
  at     = "18s"
  length = "8s"
  figure = 0.1
}
trouble "requests sent twice" {
  kind   = "repeats"
  at     = "2s"
  length = "30s"
  figure = 0.2
}
trouble "late replies" {
  kind   = "late_replies"
  at     = "26s"
  length = "5s"
  who    = [4]
  figure = 0.4
}
trouble "replies sent twice" {
  kind   = "double_replies"
  at     = "20s"
  length = "12s"
  who    = [5]
  figure = 0.5
}
