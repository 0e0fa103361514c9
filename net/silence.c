#include "net/silence.h"

#include <stdio.h>
#include <string.h>

#include "base/digest.h"

/* libcurl and this file both round ages down to full seconds. */
#define ROUNDING_S 1

static void host_from_url(const char *url, char out[SILENCE_HOST_SIZE])
{
	const char *host = strstr(url, "://");

	host = host ? host + 3 : url;
	snprintf(out, SILENCE_HOST_SIZE, "%.*s", (int)strcspn(host, "/"), host);
}

static unsigned slot_for_host(const char *host)
{
	return (unsigned)(place_hash_string(host, 0) % SILENCE_HOSTS);
}

/*
 * Records that a request submitted at began got no answer.  Hosts that share
 * a slot evict each other; an evicted host only recovers more slowly.
 */
void silence_record(struct silence *s, const char *url, apr_time_t submitted_at)
{
	char host[SILENCE_HOST_SIZE];
	struct silence_host *h;

	host_from_url(url, host);
	h = &s->hosts[slot_for_host(host)];
	if (!strcmp(h->host, host) && h->submitted_at >= submitted_at)
		return;
	memcpy(h->host, host, sizeof(host));
	h->submitted_at = submitted_at;
}

/*
 * Returns the age in seconds above which a connection to the URL's host must
 * not be reused: 0 for no limit, SILENCE_NEW_CONNECTION if none may be reused.
 */
long silence_max_age(const struct silence *s, const char *url, apr_time_t now)
{
	char host[SILENCE_HOST_SIZE];
	const struct silence_host *h;
	long age;

	host_from_url(url, host);
	h = &s->hosts[slot_for_host(host)];
	if (!h->submitted_at || strcmp(h->host, host) ||
	    now - h->submitted_at > SILENCE_RETENTION_US)
		return 0;
	age = (long)((now - h->submitted_at) / APR_USEC_PER_SEC) - ROUNDING_S;
	return age > 0 ? age : SILENCE_NEW_CONNECTION;
}
