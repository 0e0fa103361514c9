#ifndef CONFIG_DOCUMENT_H
#define CONFIG_DOCUMENT_H

#include <apr_time.h>
#include <jansson.h>
#include <stdint.h>

#include "base/digest.h"
#include "base/schema.h"
#include "config/account-key.h"
#include "config/routing.h"

/*
 * The configuration document: what all accounts declared, at one revision.
 * A document is immutable once parsed and shared by reference count, so a
 * reader sees one consistent state for as long as it holds a reference.
 */

#define DOCUMENT_NAME_SIZE 64

#define PRIORITY_NONE (-1)

/* Superseded releases of a model whose times are kept. */
#define RELEASES_SUPERSEDED_MAX 8

/*
 * A release in a row of them. No release between the one before in the row and
 * this one was declared earlier than declared_at, which is 0 if not known.
 */
struct release_time {
	uint64_t release;
	apr_time_t declared_at;
};

/* A model that an account wants on a set of upstreams. */
struct model_spec {
	char name[DOCUMENT_NAME_SIZE];
	int account;		       /* index into accounts */
	char version[DIGEST_HEX_SIZE]; /* hex digest of the manifest */
	char base[DOCUMENT_NAME_SIZE]; /* of an adapter: model it extends */
	char **upstreams;	       /* names or patterns with '*' */
	int upstream_count;
	char **data_centers; /* empty: all data centres */
	int data_center_count;
	int priority;		  /* 0 (loaded first) to 9 */
	double time_weight;	  /* 0: minimum origin bytes, 1: minimum time */
	double max_origin_copies; /* limit of origin fetches in total */
	int first_loader_count;	  /* upstreams that load before the others */
	double min_serving_ratio; /* of upstreams that keep serving */
	uint64_t release;	  /* origin's number of the version, 0: none */
	/* When the release was declared (declared.h), 0: not known. */
	apr_time_t declared_at;
	struct release_time superseded[RELEASES_SUPERSEDED_MAX]; /* rising */
	int superseded_count;
	char *origin; /* URL; NULL: origin from the settings */
};

/* An operation of a plain service. */
struct operation_spec {
	char name[DOCUMENT_NAME_SIZE];
	int is_repeatable;
	int deadline_ms;    /* default when the caller sets none */
	int key_lifetime_s; /* time that a key stays bound */
};

struct service_spec {
	char name[DOCUMENT_NAME_SIZE];
	int account;
	char **upstreams;
	int upstream_count;
	struct operation_spec *operations;
	int operation_count;
};

struct limit_spec {
	double requests_per_second; /* of all entries together, 0: no limit */
	double tokens_per_second;
	int concurrent;
	double partitioned_share; /* of the limit, for a partitioned entry */
};

struct account_spec {
	char name[DOCUMENT_NAME_SIZE];
	struct account_key *keys;
	int key_count;
	double share;	  /* relative weight in the fleet's budget */
	int priority_min; /* lowest number that its calls may request */
	int priority;	  /* of its calls; PRIORITY_NONE: route's */
	char **regions;	  /* in which its calls may be served; empty: all */
	int region_count;
	struct limit_spec limit;
};

/* Maps a bearer key to its account. */
struct key_owner {
	struct account_key key;
	int account;
};

struct fleet_spec {
	struct limit_spec budget;
	char **fencing; /* upstreams whose engines check fencing numbers */
	int fencing_count;
	int affinity_lock_s; /* session affinity: see docs/design */
	int affinity_idle_s;
};

/* Models and services are ordered by name. */
struct document {
	uint64_t revision;
	/* The operator's own number of accounts and routes, 0: none. */
	uint64_t generation;
	int requires_key; /* of requests on routes that aren't public */
	struct fleet_spec fleet;
	struct account_spec *accounts;
	int account_count;
	struct model_spec *models;
	int model_count;
	struct service_spec *services;
	int service_count;
	struct key_owner *key_owners; /* ordered by key */
	int key_owner_count;
	struct routing routing; /* for forwarding by host and path */
	int ref_count;		/* atomic */
};

struct document *document_parse(const char *text, size_t size,
				struct fault_list *faults);
struct document *document_make(const json_t *root, struct fault_list *faults);
struct document *document_ref(struct document *d);
void document_unref(struct document *d);

const struct model_spec *document_find_model(const struct document *d,
					     const char *name);
const struct service_spec *document_find_service(const struct document *d,
						 const char *name);
const struct operation_spec *
service_find_operation(const struct service_spec *s, const char *name);
int document_find_account_by_key(const struct document *d,
				 const struct account_key *key);
char **strings_bind(const json_t *list, int *count);
void strings_free(char **list, int count);
int has_matching_pattern(char *const *patterns, int count,
			 const char *upstream);
void compute_release_version(const char *model, uint64_t release,
			     char hex[DIGEST_HEX_SIZE]);
int is_model_assigned(const struct model_spec *m, const char *upstream,
		      const char *data_center);

#endif
