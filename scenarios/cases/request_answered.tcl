# A request is answered whole; one that must not be repeated runs once through two entries.
source [file join [file dirname [info script]] common.tcl.inc]
deployment
request r1 e1 -class check
expect request r1 answered within 2s
request s1 e1 -class sort -key lot -body lot
request s2 e2 -class sort -key lot -body lot
expect request s1 answered within 2s
expect request s2 answered within 2s
expect request s1 ran 1
