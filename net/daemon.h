#ifndef NET_DAEMON_H
#define NET_DAEMON_H

#include "net/node.h"

/*
 * Main function of a daemon: parses the command line, loads the settings,
 * starts the components and runs the node.  Returns the exit status:
 * 0 after a stop, 1 when it could not start, 2 for a wrong command line or
 * settings.
 */
int daemon_main(int argc, const char **argv, const char *program,
		enum role role,
		int (*start)(struct node *n, struct error *err));

#endif
