/*
 * Receives the answer to one attempt of a call and checks that it is complete
 * and belongs to that call.
 */
#ifndef HELPER_LIB_ANSWER_H
#define HELPER_LIB_ANSWER_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define ANSWER_TOKEN_LEN 8
#define ANSWER_VERSION_MAX 128
#define ANSWER_CONTENT_LEN 64
#define ANSWER_ID_MAX 64

enum answer_outcome {
	OUTCOME_ANSWER,
	OUTCOME_NOT_RUN,
	OUTCOME_UNKNOWN,
	OUTCOME_ERROR,
	OUTCOME_COUNT
};

extern const char *const answer_outcome_names[OUTCOME_COUNT];

/* Properties of a complete and correct answer to a call. */
struct answer_expectation {
	const char *id;
	const char *prompt;	/* of a model call; NULL: plain call */
	json_t *echo;		/* body of a plain call; NULL: model call */
	const char *key;	/* of a plain call; may be NULL */
	const json_t *contents; /* version to SHA-256; may be empty */
	int tokens;
	bool stream;
};

struct answer {
	int status;
	enum answer_outcome outcome;
	bool is_complete;
	bool is_mismatched;	 /* has another request's id */
	bool is_version_mixed;	 /* not from exactly one known version */
	char stated_outcome[16]; /* X-Outcome, or of a refusal */
	char scope[16];		 /* of a refusal: "attempt" or "key" */
	char again[16];		 /* of a refusal: retry advice */
	char reason[48];	 /* of a refusal */
	char version[ANSWER_VERSION_MAX + 1];
	char content[ANSWER_CONTENT_LEN + 1];
	char ticket[512];
	char problem_text[96]; /* first fault found; empty: none */
	char *text;	       /* body, or unparsed end of a stream */
	size_t text_len;
	size_t text_capacity;
	char *tokens; /* ANSWER_TOKEN_LEN characters each */
	int token_count;
	int token_capacity;
	int stated_token_count; /* in the final event; -1: not received */
	json_int_t run_number;
	char run_key[64]; /* idempotency key that a plain service ran */
	int64_t first_us;
	bool is_header_id_different;
	bool is_event_id_different;
	bool has_token_gap;
};

void answer_init(struct answer *ans);
void answer_release(struct answer *ans);
void answer_record_header(struct answer *ans,
			  const struct answer_expectation *want,
			  const char *name, const char *value);
int answer_append_body(struct answer *ans,
		       const struct answer_expectation *want, const char *data,
		       size_t len, int64_t now_us);
void answer_read_ticket(struct answer *ans);
void answer_finish(struct answer *ans, const struct answer_expectation *want,
		   bool clean, bool sent);

#endif
