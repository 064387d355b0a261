# Does letting the crowd in as answers come help where hosts are warm?
title       = "A ramp after most restart"
script      = "rehearsals/most-restart.hcl"
pairs       = 5
quick_pairs = 3
seed        = 500
matters     = 0.005

arm "answers" { pace = "answers" }
arm "ramp" { pace = "answers+ramp" }
