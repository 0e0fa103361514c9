#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "forward/report-wire.h"

/*
 * "send-report ENTRY PORT KEY UPSTREAM MODEL RUNNING" sends load reports about
 * an upstream, until it is ended: RUNNING requests are running, and it carries
 * out an order.
 */

#define PERIOD_US (50 * 1000)

static void send_report(int fd, const struct sockaddr_in *to, load_report *r,
			const struct rpc_keys *keys)
{
	char data[REPORT_MAX_BYTES];
	size_t size;

	r->sequence++;
	r->sent_us = clock_now();
	size = report_encode(r, keys, data);
	if (!size || sendto(fd, data, size, 0, (const struct sockaddr *)to,
			    sizeof(*to)) < 0) {
		perror("send-report");
		exit(1);
	}
}

int main(int argc, char **argv)
{
	struct sockaddr_in to = { .sin_family = AF_INET };
	struct rpc_keys keys = { { 0 } };
	load_model model = { .release = 1 };
	load_report r = { .agent_boot = 1,
			  .is_busy = 1,
			  .slowdown_percent = 100 };
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);

	if (argc != 7 || fd < 0 ||
	    inet_pton(AF_INET, argv[1], &to.sin_addr) != 1) {
		fprintf(stderr, "usage: send-report ENTRY PORT KEY UPSTREAM "
				"MODEL RUNNING\n");
		return 2;
	}
	to.sin_port = htons((uint16_t)atoi(argv[2]));
	snprintf(keys.current, sizeof(keys.current), "%s", argv[3]);
	r.address = argv[4];
	model.name = argv[5];
	r.running = atoi(argv[6]);
	r.models.models_len = 1;
	r.models.models_val = &model;
	for (;;) {
		send_report(fd, &to, &r, &keys);
		usleep(PERIOD_US);
	}
}
