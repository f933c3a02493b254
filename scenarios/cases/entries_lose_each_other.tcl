# Entries lose each other but not the log: neither takes the other off the list, both serve.
source [file join [file dirname [info script]] common.tcl.inc]
deployment
network cut e1 e2
wait 5m
request s1 e1 -class sort -key one
request s2 e2 -class sort -key two
expect request s1 answered within 3s
expect request s2 answered within 3s
network mend e1 e2
wait 5s
request s3 e1 -class sort -key three
expect request s3 answered within 3s
