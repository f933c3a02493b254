# A worker that fails what it starts does not starve the queue.
source [file join [file dirname [info script]] common.tcl.inc]
deployment
worker w1 fail
for {set i 0} {$i < 30} {incr i} {
    job submit j$i -members 1 -accelerators 8 -run 2s -attempts 10
}
for {set i 0} {$i < 30} {incr i} {
    expect job j$i finished within 600s
}
