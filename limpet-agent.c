#include "net/daemon.h"

#include "calls/gate.h"
#include "config/config.h"
#include "forward/report.h"
#include "member/member.h"
#include "platform/platform.h"
#include "weights/weights.h"

/* Starts the components of an agent. */
static int start_agent(struct node *n, struct error *err)
{
	if (config_start(n, err))
		return -1;
	if (member_start(n, err))
		return -1;
	if (n->settings.platform == PLATFORM_STORE) {
		platform_attach(n);
		if (weights_start(n, &platform_engine_ops, err))
			return -1;
		return report_send_start(n, err);
	}
	if (weights_start(n, &engine_service_ops, err))
		return -1;
	return gate_start(n, err);
}

int main(int argc, const char **argv)
{
	return daemon_main(argc, argv, "limpet-agent", ROLE_AGENT, start_agent);
}
