// Command review-standin-2 plays the cases of the second review that are scripts: it
// starts the platform's store, runners and clients as stand-ins and the relay as
// separate processes, on loopback addresses, and checks what clients and runners saw.
//
// # Usage
//
//	review-standin-2 drain --dir review/6
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case couldn't run.
// With TROUBLE=0 in the environment, the disruption is left out.
package main
