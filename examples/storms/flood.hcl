# One of four gateways of an exchange sends twelve times its part and heeds nothing.
base   = "../town.hcl"
title  = "one gateway floods"
length = "45s"

fleet {
  exchanges = 6
  gateways  = 4
}

load {
  level = 1.0
}

trouble "flood" {
  kind   = "flood"
  at     = "10s"
  length = "20s"
  who    = [0, 3]
  figure = 12
}
must {
  back_to      = 0
  pressed_most = 0
}
