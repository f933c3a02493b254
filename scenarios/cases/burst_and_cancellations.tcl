# A burst of jobs is cancelled in a wave: nothing of it runs on.
source [file join [file dirname [info script]] common.tcl.inc]
deployment
for {set i 0} {$i < 300} {incr i} {
    job submit j$i -members 1 -accelerators 4 -run 5m
}
wait 5s
for {set i 0} {$i < 300} {incr i} {
    job cancel j$i
}
for {set i 0} {$i < 300} {incr i} {
    expect job j$i cancelled within 60s
}
for {set i 1} {$i <= 6} {incr i} {
    expect worker w$i idle within 60s
}
