/*
 * Command line options that all stand-ins share.
 */
#ifndef STANDIN_LIB_OPTIONS_H
#define STANDIN_LIB_OPTIONS_H

#include <popt.h>

/* Reads the command line; exits with a usage message when it is wrong. */
void options_read(int argc, const char **argv, const struct poptOption *table,
		  void (*seen)(int value, const char *text));

/* Reports a wrong value of an option and exits. */
__attribute__((noreturn)) void options_fail(const char *what, const char *text);

#endif
