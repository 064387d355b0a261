# Hosts and routers gone at once, hosts cold: with and without a pace, and the build before this issue's module.
title       = "A return from a power cut"
script      = "rehearsals/power-cut.hcl"
pairs       = 5
quick_pairs = 5
seed        = 600
matters     = 0.005

arm "off" {}
arm "answers" { pace = "answers" }
