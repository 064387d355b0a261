# Sixteen routers, eleven killed at once. `before` is the build of commit 7b62631, without this issue's module and paces; `plainest`
# opens a pool at every host at once; `answers` is the pace that was chosen.
title       = "A return after most restart"
script      = "rehearsals/most-restart.hcl"
pairs       = 5
quick_pairs = 5
seed        = 500
matters     = 0.005

arm "before" { router = "target/before/sandstile" }
arm "plainest" { pace = "plainest" }
arm "answers" { pace = "answers" }
