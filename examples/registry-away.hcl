# The exchange list is in a registry that is away for twenty seconds, while one hub is replaced and one starts anew.
base   = "town.hcl"
title  = "registry away"
length = "50s"

fleet {
  registry = true
}

load {
  level = 0.9
}

trouble "registry away" {
  kind   = "list_gone"
  at     = "10s"
  length = "20s"
}
trouble "hub replaced meanwhile" {
  kind   = "replace"
  at     = "12s"
  length = "6s"
  who    = [2]
}
trouble "hub starts anew meanwhile" {
  kind   = "silent"
  at     = "14s"
  length = "4s"
  who    = [5]
}
must {
  back_to      = 0.9
  back_within  = "15s"
  pressed_most = 0
}
