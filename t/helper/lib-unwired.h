#ifndef T_HELPER_LIB_UNWIRED_H
#define T_HELPER_LIB_UNWIRED_H

#include "forward/internal.h"

/*
 * A clock, a caller's call and attempts without a network, for the functions of
 * forward/. In a program that is linked with --wrap (see Makefile) they take the
 * place of the library's. What becomes of a request is printed.
 */

/* Stands for the call of a request. */
struct unwired_call {
	char name[32];
	struct forward *f; /* NULL: ended */
};

void unwired_set_time(apr_time_t now);
void unwired_blame(const struct crash_items *s);

#endif
