#ifndef BASE_SCHEMA_H
#define BASE_SCHEMA_H

#include <jansson.h>
#include <stddef.h>

/*
 * Validates JSON against a table of fields and lists all faults in one pass,
 * each with its path, what was expected (range, unit) and, for an unknown
 * name, the most similar valid one.  Used for settings, account files and the
 * configuration document.
 */

enum schema_type {
	SCHEMA_STRING = 1,
	SCHEMA_INTEGER,
	SCHEMA_REAL,
	SCHEMA_BOOLEAN,
	SCHEMA_OBJECT, /* an object, described by fields */
	SCHEMA_ARRAY,  /* an array of objects, described by fields */
	SCHEMA_STRINGS /* an array of strings */
};

#define SCHEMA_REQUIRED 1
#define SCHEMA_HEX_DIGEST 2 /* 64 lower-case hex digits */
#define SCHEMA_NAME 4	    /* 1 to 63 letters, digits, '-', '_', '.' */

/* Upper bound of a list that is only as long as the text that holds it. */
#define SCHEMA_UNBOUNDED 0

struct schema_field {
	const char *name; /* NULL marks the end of a table */
	enum schema_type type;
	int flags; /* SCHEMA_REQUIRED and so on, combined with | */
	/*
	 * Bounds of the value, or of the length of a string or array.  Numbers
	 * are not bounded if low equals high, lengths not above low if high is
	 * SCHEMA_UNBOUNDED.
	 */
	double low;
	double high;
	const char *unit;		   /* for messages, or NULL */
	const struct schema_field *fields; /* of the object or of elements */
	const char *const *choices; /* allowed strings, NULL-terminated */
	const char *help; /* added to the message for a missing field */
};

#define SCHEMA_END                                                             \
	{                                                                      \
		NULL                                                           \
	}

/* Validation errors found so far, one line of text each. */
struct fault_list {
	char **lines;
	size_t count;
	size_t capacity;
};

void fault_add(struct fault_list *l, const char *path, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));
void fault_list_clear(struct fault_list *l);

size_t schema_check(const struct schema_field *fields, const json_t *object,
		    const char *path, struct fault_list *faults);
int schema_prune(const struct schema_field *fields, json_t *object,
		 const char *path, struct fault_list *removed);
json_t *schema_load_file(const char *file, size_t size_limit,
			 struct fault_list *faults);

const char *schema_string(const json_t *object, const char *name,
			  const char *default_value);
long long schema_integer(const json_t *object, const char *name,
			 long long default_value);
double schema_real(const json_t *object, const char *name,
		   double default_value);
int schema_boolean(const json_t *object, const char *name, int default_value);

#endif
