#ifndef NET_CUT_H
#define NET_CUT_H

/*
 * Fault injection: address prefixes with which this process exchanges
 * nothing, so that tests can partition data centres on one machine.  The set
 * is empty unless "fault_injection" is set in the settings and an operator
 * fills it.
 */

void partition_set(const char *const *prefixes, int count);
int is_address_partitioned(const char *address);
int is_url_partitioned(const char *url);

#endif
