#ifndef BASE_SCHEMA_H
#define BASE_SCHEMA_H

#include <jansson.h>
#include <stddef.h>

/*
 * Checks JSON against a table of fields and lists every fault at once, each
 * with its path, what was expected (range, unit) and a hint for names that
 * are not known.  Used for settings, account files and the document.
 */

enum schema_type {
	SCHEMA_STRING = 1,
	SCHEMA_INTEGER,
	SCHEMA_REAL,
	SCHEMA_BOOLEAN,
	SCHEMA_OBJECT, /* with fields */
	SCHEMA_ARRAY,  /* each element an object with fields */
	SCHEMA_STRINGS /* an array of strings */
};

#define SCHEMA_REQUIRED 1
#define SCHEMA_HEX_DIGEST 2 /* 64 lower-case hex digits */
#define SCHEMA_NAME 4	    /* letters, digits, '-', '_', '.' */

struct schema_field {
	const char *name; /* NULL ends a table */
	enum schema_type type;
	int flags;
	double low; /* numbers: range; strings, arrays: length */
	double high;
	const char *unit;
	const struct schema_field *fields;
	const char *const *choices; /* allowed strings, NULL-ended */
	const char *help;
};

#define SCHEMA_END                                                             \
	{                                                                      \
		NULL                                                           \
	}

/* Faults found so far, one line each. */
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
json_t *schema_load_file(const char *file, size_t size_limit,
			 struct fault_list *faults);

const char *schema_string(const json_t *object, const char *name,
			  const char *absent);
long long schema_integer(const json_t *object, const char *name,
			 long long absent);
double schema_real(const json_t *object, const char *name, double absent);
int schema_boolean(const json_t *object, const char *name, int absent);

#endif
