#include "net/daemon.h"

#include "calls/calls.h"
#include "config/config.h"
#include "forward/forward.h"
#include "member/member.h"
#include "platform/platform.h"

/* Starts the components of an entry instance. */
static int start_entry(struct node *n, struct error *err)
{
	if (config_start(n, err))
		return -1;
	if (member_start(n, err))
		return -1;
	if (n->settings.platform != PLATFORM_STORE)
		return calls_start(n, err);
	platform_attach(n);
	return forward_start(n, &platform_wire_ops, err);
}

int main(int argc, const char **argv)
{
	return daemon_main(argc, argv, "limpet-entry", ROLE_ENTRY, start_entry);
}
