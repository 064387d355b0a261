# Do second and third tries of clients help on a derby night, or do they only add load?
title       = "Clients' retries on a derby night"
script      = "rehearsals/derby-night.hcl"
pairs       = 12
quick_pairs = 1
seed        = 100
matters     = 0.005

arm "two-retries" {}
arm "no-retries" { retries = 0 }
