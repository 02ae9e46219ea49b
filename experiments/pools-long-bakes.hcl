# Bakes run five times longer than their hints say. Without hints: --set hints=absent
like  = "pools.hcl"
about = "bakes five times longer than hinted"
hints = "fifth"
set   = ["stage.bake.work_ms=2320", "stage.bake.due_ms=9000", "stage.bake.limit_ms=20000"]
