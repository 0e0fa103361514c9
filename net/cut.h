#ifndef NET_CUT_H
#define NET_CUT_H

/*
 * Fault injection: a set of address prefixes with which this process
 * exchanges nothing, so that tests can part data centres on one machine.
 * Empty unless an operator with "fault_injection" set in the settings fills
 * it.
 */

void cut_set(const char *const *prefixes, int count);
int cut_blocks(const char *address);
int cut_blocks_url(const char *url);

#endif
