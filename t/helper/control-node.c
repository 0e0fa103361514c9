#include <stdio.h>
#include <string.h>

#include "config/config.h"
#include "member/member.h"
#include "net/daemon.h"

/*
 * Usage: control-node entry|agent --settings FILE
 *
 * An entry or agent that runs the configuration and membership components
 * only.
 */

static int control_start(struct node *n, struct error *err)
{
	if (config_start(n, err))
		return -1;
	return member_start(n, err);
}

int main(int argc, const char **argv)
{
	if (argc < 2) {
		fprintf(stderr, "usage: control-node entry|agent OPTIONS\n");
		return 2;
	}
	return daemon_main(argc - 1, argv + 1, "control-node",
			   strcmp(argv[1], "agent") ? ROLE_ENTRY : ROLE_AGENT,
			   control_start);
}
