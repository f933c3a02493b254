# An entry stands still and wakes with old plans: nothing is granted twice.
source [file join [file dirname [info script]] common.tcl.inc]
deployment
job submit j1 -members 3 -accelerators 8 -run 20s -via e1
wait 5ms
entry e1 pause
job submit j2 -members 3 -accelerators 8 -run 20s -via e2
wait 40s
entry e1 resume
expect job j2 finished within 90s
wait 30s
