# Sixteen routers, eleven killed at once: the plainest return against the one without a pace, and four paces.
title       = "Paces of a return: most restart"
script      = "rehearsals/most-restart.hcl"
pairs       = 5
quick_pairs = 5
seed        = 500
matters     = 0.005

arm "off" {}
arm "plainest" { pace = "plainest" }
arm "jitter" { pace = "jitter" }
arm "tokens" { pace = "tokens" }
arm "slots" { pace = "slots" }
arm "answers" { pace = "answers" }
