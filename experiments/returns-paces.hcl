# The paces that were weighed, and the ramp, on the return that nothing without backing off survives.
title       = "Paces of a return: power cut"
script      = "rehearsals/power-cut.hcl"
pairs       = 5
quick_pairs = 2
seed        = 600
matters     = 0.005

arm "answers" { pace = "answers" }
arm "jitter" { pace = "jitter" }
arm "tokens" { pace = "tokens" }
arm "slots" { pace = "slots" }
arm "ramp" { pace = "answers+ramp" }
