/* Calls of a load, drawn from a seed. */
#ifndef HELPER_LIB_PLAN_H
#define HELPER_LIB_PLAN_H

#include <jansson.h>
#include <stdbool.h>

#include "base/random.h"

#define PLAN_ENTRIES_MAX 64
#define PLAN_ACCOUNTS_MAX 64
#define PLAN_ID_LEN 48

struct plan_settings {
	char *entries[PLAN_ENTRIES_MAX]; /* "address:port" */
	int entry_count;
	char *accounts[PLAN_ACCOUNTS_MAX]; /* "name=token" */
	int account_count;
	const char *model;
	const char *service;
	const char *operation;
	double plain_share;
	double stream_share;
	double ticket_share; /* of plain calls */
	double key_share;    /* of plain calls */
	double double_share; /* of plain calls, each sent to two entries */
	double crash_share;
	int tokens;
	int prompts;	  /* number of distinct prompt prefixes */
	int prompt_bytes; /* length of a prompt prefix */
	int sessions;	  /* 0 for none */
	int priority;	  /* -1 for none */
	int deadline_ms;  /* 0 for none */
	const char *name; /* prefix of every call id */
	int direct;
	int repeatable;	  /* plain calls may run more than once */
	json_t *contents; /* model version to SHA-256 of its content */
};

struct plan {
	bool is_plain;
	bool is_stream;
	bool is_duplicated;
	bool wants_ticket;
	char id[PLAN_ID_LEN];
	char key[PLAN_ID_LEN]; /* empty: none */
	char session[PLAN_ID_LEN];
	char ticket[512];
	int account;
	char *prompt;
	char *body;
	json_t *echo;
};

void plan_draw(struct plan *plan, const struct plan_settings *set,
	       struct random *random, long number);
void plan_release(struct plan *plan);
void plan_account(const struct plan_settings *set, const struct plan *plan,
		  char *name, size_t size, const char **token);

#endif
