#include "calls/limits.h"

#include <stdlib.h>
#include <string.h>

#include "config/document.h"

#define LIMITS_STEP_US (10 * 1000)
#define LIMITS_BURST_US (APR_USEC_PER_SEC / 4)
#define LIMITS_ACCOUNTS_MAX 1024

struct limit_account {
	char name[64];
	struct limit_spec limit;
	double requests; /* left in the bucket */
	double tokens;
	apr_time_t filled;
	int running;
	struct admission *first; /* waits for concurrency */
	struct admission **tail;
};

struct limits {
	struct node *node;
	pthread_mutex_t mutex; /* taken after no table, before none */
	uint64_t revision;
	int account_count;
	struct limit_account accounts[LIMITS_ACCOUNTS_MAX];
};

static struct limit_account *account_find(struct limits *l, const char *name)
{
	int i;

	for (i = 0; i < l->account_count; i++)
		if (!strcmp(l->accounts[i].name, name))
			return &l->accounts[i];
	return NULL;
}

static double bucket_depth(double rate)
{
	double depth = rate * LIMITS_BURST_US / APR_USEC_PER_SEC;

	return depth < 1 ? 1 : depth;
}

static void bucket_fill(double *level, double rate, apr_interval_time_t gap)
{
	*level += rate * (double)gap / APR_USEC_PER_SEC;
	if (*level > bucket_depth(rate))
		*level = bucket_depth(rate);
}

static void account_fill(struct limit_account *c, apr_time_t now)
{
	bucket_fill(&c->requests, c->limit.requests_per_second,
		    now - c->filled);
	bucket_fill(&c->tokens, c->limit.tokens_per_second, now - c->filled);
	c->filled = now;
}

/* Returns milliseconds until the account has budget, 0 if it has now. */
static int account_wait_ms(const struct limit_account *c)
{
	double s = 0;

	if (c->limit.requests_per_second > 0 && c->requests < 1)
		s = (1 - c->requests) / c->limit.requests_per_second;
	if (c->limit.tokens_per_second > 0 && c->tokens < 0 &&
	    -c->tokens / c->limit.tokens_per_second > s)
		s = -c->tokens / c->limit.tokens_per_second;
	return s > 0 ? (int)(s * 1000) + 1 : 0;
}

/* Returns 1 when a could run now. */
static int account_room(const struct limit_account *c)
{
	return c->limit.concurrent <= 0 || c->running < c->limit.concurrent;
}

/* Reads the limits of a document that came into force. */
static void limits_configure(struct limits *l, apr_time_t now)
{
	struct document *d = board_document(&l->node->board);
	struct limit_account *c;
	int i;

	if (!d)
		return;
	pthread_mutex_lock(&l->mutex);
	for (i = 0; i < d->account_count && l->revision != d->revision; i++) {
		c = account_find(l, d->accounts[i].name);
		if (!c && l->account_count == LIMITS_ACCOUNTS_MAX)
			break;
		if (!c) {
			c = &l->accounts[l->account_count++];
			strcpy(c->name, d->accounts[i].name);
			c->filled = now - LIMITS_BURST_US;
			c->tail = &c->first;
		}
		c->limit = d->accounts[i].limit;
	}
	l->revision = d->revision;
	pthread_mutex_unlock(&l->mutex);
	document_release(d);
}

static void decide(struct admission *a, enum admit_outcome outcome, int ms,
		   const char *reason)
{
	a->decided(a, outcome, ms, reason);
}

/* Asks to run a call; see the header for when decided is called. */
void limits_request(struct limits *l, struct admission *a, apr_time_t now)
{
	struct limit_account *c;
	int wait_ms, granted = 0;

	limits_configure(l, now);
	pthread_mutex_lock(&l->mutex);
	c = account_find(l, a->account);
	if (!c) {
		pthread_mutex_unlock(&l->mutex);
		decide(a, ADMIT_UNKNOWN, 0, "no such account");
		return;
	}
	account_fill(c, now);
	wait_ms = account_wait_ms(c);
	if (!wait_ms) {
		c->requests -= 1;
		c->tokens -= a->tokens;
		a->next = NULL;
		granted = !c->first && account_room(c);
		if (granted) {
			c->running++;
		} else {
			*c->tail = a;
			c->tail = &a->next;
		}
	}
	pthread_mutex_unlock(&l->mutex);
	if (wait_ms)
		decide(a, ADMIT_LIMIT, wait_ms, "rate limit of the account");
	else if (granted)
		decide(a, ADMIT_GRANTED, 0, "within limits");
}

/* Takes from the queue what may run or is too late.  Locked. */
static struct admission *account_take(struct limit_account *c, apr_time_t now,
				      int *granted)
{
	struct admission *a = c->first;

	if (!a)
		return NULL;
	*granted = !a->deadline || now < a->deadline;
	if (*granted && !account_room(c))
		return NULL;
	c->first = a->next;
	if (!c->first)
		c->tail = &c->first;
	c->running += *granted;
	return a;
}

static void account_pump(struct limits *l, struct limit_account *c,
			 apr_time_t now)
{
	struct admission *a;
	int granted;

	for (;;) {
		pthread_mutex_lock(&l->mutex);
		a = account_take(c, now, &granted);
		pthread_mutex_unlock(&l->mutex);
		if (!a)
			return;
		if (granted)
			decide(a, ADMIT_GRANTED, 0, "after waiting");
		else
			decide(a, ADMIT_OVERLOAD, 1000, "deadline passed");
	}
}

/* Ends a granted call. */
void limits_release(struct limits *l, struct admission *a, int tokens_used,
		    apr_time_t now)
{
	struct limit_account *c;

	pthread_mutex_lock(&l->mutex);
	c = account_find(l, a->account);
	c->running--;
	c->tokens -= tokens_used - a->tokens;
	pthread_mutex_unlock(&l->mutex);
	account_pump(l, c, now);
}

/*
 * Takes back a request that still waits.  Returns 1 if decided will not be
 * called any more, 0 if the decision was made.
 */
int limits_withdraw(struct limits *l, struct admission *a, apr_time_t now)
{
	struct limit_account *c;
	struct admission **p;
	int found = 0;

	(void)now;
	pthread_mutex_lock(&l->mutex);
	c = account_find(l, a->account);
	for (p = c ? &c->first : NULL; p && *p; p = &(*p)->next) {
		if (*p != a)
			continue;
		*p = a->next;
		if (!*p)
			c->tail = p;
		found = 1;
		break;
	}
	pthread_mutex_unlock(&l->mutex);
	return found;
}

static void limits_step(void *arg, apr_time_t now)
{
	struct limits *l = arg;
	int i;

	limits_configure(l, now);
	for (i = 0; i < l->account_count; i++)
		account_pump(l, &l->accounts[i], now);
}

/* Adds this component to a node that is not running yet. */
int limits_start(struct node *n, struct limits **out, struct error *err)
{
	struct limits *l = calloc(1, sizeof(*l));

	if (!l)
		return error_set(err, ERROR_INTERNAL, "limits-start", NULL,
				 "no memory");
	l->node = n;
	pthread_mutex_init(&l->mutex, NULL);
	node_add_controller(n, "limits", LIMITS_STEP_US, limits_step, l);
	*out = l;
	return 0;
}
