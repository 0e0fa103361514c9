/*
 * Command line parsing shared by all stand-ins.
 */
#ifndef STANDIN_LIB_OPTIONS_H
#define STANDIN_LIB_OPTIONS_H

#include <popt.h>

/* Parses the command line; exits with an error message if it is invalid. */
void options_parse(int argc, const char **argv, const struct poptOption *table,
		   void (*on_option)(int value, const char *text));

/* Prints an error about the value of an option and exits. */
__attribute__((noreturn)) void options_fail(const char *what, const char *text);

#endif
