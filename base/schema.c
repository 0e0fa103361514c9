#include "base/schema.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PATH_SIZE 256
#define NAME_LENGTH_MAX 63
#define HINT_DISTANCE_MAX 3 /* maximum edit distance of a suggested name */
#define HEX_DIGEST_LENGTH 64

/* Adds the line "path: text" to the list; an empty path is shown as "(top)". */
void fault_add(struct fault_list *l, const char *path, const char *fmt, ...)
{
	char text[512];
	char *line;
	va_list ap;
	size_t n;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	if (l->count == l->capacity) {
		l->capacity = l->capacity ? l->capacity * 2 : 8;
		l->lines = realloc(l->lines, l->capacity * sizeof(char *));
		if (!l->lines)
			abort();
	}
	n = strlen(path) + strlen(text) + 3;
	line = malloc(n);
	if (!line)
		abort();
	snprintf(line, n, "%s: %s", *path ? path : "(top)", text);
	l->lines[l->count++] = line;
}

/* Frees the lines; the list is then empty and can be reused. */
void fault_list_clear(struct fault_list *l)
{
	size_t i;

	for (i = 0; i < l->count; i++)
		free(l->lines[i]);
	free(l->lines);
	memset(l, 0, sizeof(*l));
}

/*
 * Returns the edit (Levenshtein) distance between two names, or NAME_LENGTH_MAX
 * if one of them is longer than that.
 */
static size_t name_distance(const char *a, const char *b)
{
	size_t row[NAME_LENGTH_MAX + 1];
	size_t n = strlen(b), i, j;

	if (strlen(a) > NAME_LENGTH_MAX || n > NAME_LENGTH_MAX)
		return NAME_LENGTH_MAX;
	for (j = 0; j <= n; j++)
		row[j] = j;
	for (i = 1; a[i - 1]; i++) {
		size_t diagonal = row[0];

		row[0] = i;
		for (j = 1; j <= n; j++) {
			size_t best = diagonal + (a[i - 1] != b[j - 1]);

			diagonal = row[j];
			if (row[j] + 1 < best)
				best = row[j] + 1;
			if (row[j - 1] + 1 < best)
				best = row[j - 1] + 1;
			row[j] = best;
		}
	}
	return row[n];
}

static void unknown_field_report(const struct schema_field *fields,
				 const char *name, const char *path,
				 struct fault_list *faults)
{
	const struct schema_field *f, *nearest = NULL;
	size_t best = HINT_DISTANCE_MAX + 1;

	for (f = fields; f->name; f++) {
		size_t d = name_distance(name, f->name);

		if (d < best) {
			best = d;
			nearest = f;
		}
	}
	if (nearest)
		fault_add(faults, path, "unknown field; did you mean \"%s\"?",
			  nearest->name);
	else
		fault_add(faults, path, "unknown field");
}

static int is_name(const char *s)
{
	return *s && strlen(s) <= NAME_LENGTH_MAX &&
	       strspn(s, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
			 "0123456789-_.") == strlen(s);
}

static int is_hex_digest(const char *s)
{
	return strlen(s) == HEX_DIGEST_LENGTH &&
	       strspn(s, "0123456789abcdef") == HEX_DIGEST_LENGTH;
}

static void length_check(const struct schema_field *f, size_t n,
			 const char *what, const char *path,
			 struct fault_list *faults)
{
	if (f->high == SCHEMA_UNBOUNDED && n < f->low)
		fault_add(faults, path, "expected at least %g %s", f->low,
			  what);
	else if (f->high != SCHEMA_UNBOUNDED && (n < f->low || n > f->high))
		fault_add(faults, path, "expected %g to %g %s", f->low, f->high,
			  what);
}

static void string_check(const struct schema_field *f, const char *s,
			 const char *path, struct fault_list *faults)
{
	const char *const *c;
	size_t n = strlen(s);

	if (f->flags & SCHEMA_HEX_DIGEST && !is_hex_digest(s))
		fault_add(faults, path,
			  "expected a SHA-256 digest (64 lower-case hex "
			  "digits)");
	if (f->flags & SCHEMA_NAME && !is_name(s))
		fault_add(faults, path,
			  "expected a name of 1 to %d letters, digits, '-', "
			  "'_' or '.'",
			  NAME_LENGTH_MAX);
	length_check(f, n, "characters", path, faults);
	if (!f->choices)
		return;
	for (c = f->choices; *c; c++) {
		if (!strcmp(*c, s))
			return;
	}
	fault_add(faults, path,
		  "\"%.40s\" is not one of the allowed values "
		  "(first: \"%s\")",
		  s, f->choices[0]);
}

static void number_check(const struct schema_field *f, const json_t *v,
			 const char *path, struct fault_list *faults)
{
	double x = json_number_value(v);

	if (f->low == f->high || (x >= f->low && x <= f->high))
		return;
	fault_add(faults, path,
		  "%g is out of range: expected %.12g to %.12g%s%s", x, f->low,
		  f->high, f->unit ? " " : "", f->unit ? f->unit : "");
}

static void array_check(const struct schema_field *f, const json_t *v,
			const char *path, struct fault_list *faults)
{
	char inner[PATH_SIZE + 32];
	size_t i, n = json_array_size(v);

	length_check(f, n, "elements", path, faults);
	for (i = 0; i < n; i++) {
		const json_t *e = json_array_get(v, i);

		snprintf(inner, sizeof(inner), "%s[%zu]", path, i);
		if (f->type == SCHEMA_ARRAY) {
			schema_check(f->fields, e, inner, faults);
			continue;
		}
		if (!json_is_string(e))
			fault_add(faults, inner, "expected a string");
		else if (f->flags & SCHEMA_NAME &&
			 !is_name(json_string_value(e)))
			fault_add(faults, inner, "expected a name");
	}
}

static int has_type(enum schema_type type, const json_t *v)
{
	switch (type) {
	case SCHEMA_STRING:
		return json_is_string(v);
	case SCHEMA_INTEGER:
		return json_is_integer(v);
	case SCHEMA_REAL:
		return json_is_number(v);
	case SCHEMA_BOOLEAN:
		return json_is_boolean(v);
	case SCHEMA_OBJECT:
		return json_is_object(v);
	case SCHEMA_ARRAY:
	case SCHEMA_STRINGS:
		return json_is_array(v);
	}
	return 0;
}

static void field_check(const struct schema_field *f, const json_t *v,
			const char *path, struct fault_list *faults)
{
	static const char *const type_names[] = {
		[SCHEMA_STRING] = "a string",
		[SCHEMA_INTEGER] = "a whole number",
		[SCHEMA_REAL] = "a number",
		[SCHEMA_BOOLEAN] = "true or false",
		[SCHEMA_OBJECT] = "an object",
		[SCHEMA_ARRAY] = "an array",
		[SCHEMA_STRINGS] = "an array of strings",
	};

	if (!has_type(f->type, v)) {
		fault_add(faults, path, "expected %s%s%s", type_names[f->type],
			  f->unit ? " in " : "", f->unit ? f->unit : "");
		return;
	}
	switch (f->type) {
	case SCHEMA_STRING:
		string_check(f, json_string_value(v), path, faults);
		break;
	case SCHEMA_INTEGER:
	case SCHEMA_REAL:
		number_check(f, v, path, faults);
		break;
	case SCHEMA_BOOLEAN:
		break;
	case SCHEMA_OBJECT:
		schema_check(f->fields, v, path, faults);
		break;
	case SCHEMA_ARRAY:
	case SCHEMA_STRINGS:
		array_check(f, v, path, faults);
		break;
	}
}

static const struct schema_field *field_find(const struct schema_field *fields,
					     const char *name)
{
	for (; fields->name; fields++) {
		if (!strcmp(fields->name, name))
			return fields;
	}
	return NULL;
}

/*
 * Validates object against fields and adds the faults to the list.  path is
 * the prefix of the paths in the messages, "" at the top level.  Returns the
 * number of faults added.
 */
size_t schema_check(const struct schema_field *fields, const json_t *object,
		    const char *path, struct fault_list *faults)
{
	size_t before = faults->count;
	const struct schema_field *f;
	char inner[PATH_SIZE];
	const char *dot = *path ? "." : "";
	const char *key;
	json_t *v;

	if (!json_is_object(object)) {
		fault_add(faults, path, "expected an object");
		return 1;
	}
	json_object_foreach((json_t *)object, key, v)
	{
		snprintf(inner, sizeof(inner), "%s%s%s", path, dot, key);
		f = field_find(fields, key);
		if (f)
			field_check(f, v, inner, faults);
		else
			unknown_field_report(fields, key, inner, faults);
	}
	for (f = fields; f->name; f++) {
		if (!(f->flags & SCHEMA_REQUIRED) ||
		    json_object_get(object, f->name))
			continue;
		snprintf(inner, sizeof(inner), "%s%s%s", path, dot, f->name);
		fault_add(faults, inner, "is required%s%s", f->help ? ": " : "",
			  f->help ? f->help : "");
	}
	return faults->count - before;
}

/* Sets a number to the nearest allowed value.  Returns -1 if it is none. */
static int number_prune(const struct schema_field *f, json_t *object,
			const char *path, struct fault_list *removed)
{
	const json_t *v = json_object_get(object, f->name);
	double x = json_number_value(v);
	int is_bounded = f->low != f->high;

	if (!json_is_number(v) || (!is_bounded && !has_type(f->type, v)))
		return -1;
	if (has_type(f->type, v) &&
	    (!is_bounded || (x >= f->low && x <= f->high)))
		return 0;
	x = x < f->low ? f->low : x > f->high ? f->high : x;
	fault_add(removed, path, "%g is used instead", x);
	json_object_set_new(object, f->name,
			    f->type == SCHEMA_REAL
				    ? json_real(x)
				    : json_integer((json_int_t)x));
	return 0;
}

/* Returns 1 for an element of a list that is valid, once pruned. */
static int element_prune(const struct schema_field *f, json_t *v,
			 const char *path, struct fault_list *removed)
{
	if (f->type == SCHEMA_ARRAY)
		return !schema_prune(f->fields, v, path, removed);
	if (json_is_string(v) &&
	    (!(f->flags & SCHEMA_NAME) || is_name(json_string_value(v))))
		return 1;
	fault_add(removed, path, "expected a %s",
		  f->flags & SCHEMA_NAME ? "name" : "string");
	return 0;
}

/* Drops what is invalid in a list.  Returns -1 if too little is left. */
static int array_prune(const struct schema_field *f, json_t *object,
		       const char *path, struct fault_list *removed)
{
	json_t *v = json_object_get(object, f->name), *kept, *e;
	char inner[PATH_SIZE + 32];
	size_t i;

	if (!json_is_array(v))
		return -1;
	kept = json_array();
	json_array_foreach(v, i, e)
	{
		snprintf(inner, sizeof(inner), "%s[%zu]", path, i);
		if ((f->high == SCHEMA_UNBOUNDED ||
		     json_array_size(kept) < f->high) &&
		    element_prune(f, e, inner, removed))
			json_array_append(kept, e);
	}
	json_object_set_new(object, f->name, kept);
	return json_array_size(kept) < f->low ? -1 : 0;
}

static int field_prune(const struct schema_field *f, json_t *object,
		       const char *path, struct fault_list *removed)
{
	json_t *v = json_object_get(object, f->name);
	size_t before = removed->count;

	switch (f->type) {
	case SCHEMA_INTEGER:
	case SCHEMA_REAL:
		return number_prune(f, object, path, removed);
	case SCHEMA_OBJECT:
		return schema_prune(f->fields, v, path, removed);
	case SCHEMA_ARRAY:
	case SCHEMA_STRINGS:
		return array_prune(f, object, path, removed);
	default:
		field_check(f, v, path, removed);
		return removed->count > before ? -1 : 0;
	}
}

/*
 * Removes from object what schema_check would find a fault in, and adds a line
 * for each part: a number out of range becomes the nearest one allowed, other
 * members go, and so do elements of lists that lack what is required.  Returns
 * -1 if object itself does.
 */
int schema_prune(const struct schema_field *fields, json_t *object,
		 const char *path, struct fault_list *removed)
{
	const struct schema_field *f;
	const char *dot = *path ? "." : "";
	char inner[PATH_SIZE];
	const char *key;
	void *next;
	json_t *v;

	if (!json_is_object(object)) {
		fault_add(removed, path, "expected an object");
		return -1;
	}
	json_object_foreach_safe(object, next, key, v)
	{
		f = field_find(fields, key);
		snprintf(inner, sizeof(inner), "%s%s%s", path, dot, key);
		if (f && !field_prune(f, object, inner, removed))
			continue;
		fault_add(removed, inner, "is left out");
		json_object_del(object, key);
	}
	for (f = fields; f->name; f++) {
		if (!(f->flags & SCHEMA_REQUIRED) ||
		    json_object_get(object, f->name))
			continue;
		fault_add(removed, path, "is left out: it has no valid %s",
			  f->name);
		return -1;
	}
	return 0;
}

/*
 * Loads a JSON file of at most size_limit bytes.  Returns a new reference, or
 * NULL after adding the reason to faults.
 */
json_t *schema_load_file(const char *file, size_t size_limit,
			 struct fault_list *faults)
{
	json_error_t error;
	json_t *v = NULL;
	char *text = NULL;
	FILE *fp;
	size_t n;

	fp = fopen(file, "rb");
	if (!fp) {
		fault_add(faults, file, "cannot be read: %m");
		return NULL;
	}
	text = malloc(size_limit + 1);
	if (!text)
		goto out;
	n = fread(text, 1, size_limit + 1, fp);
	if (n > size_limit) {
		fault_add(faults, file, "is larger than %zu bytes", size_limit);
		goto out;
	}
	v = json_loadb(text, n, JSON_REJECT_DUPLICATES, &error);
	if (!v)
		fault_add(faults, file, "line %d, column %d: %s", error.line,
			  error.column, error.text);
out:
	free(text);
	fclose(fp);
	return v;
}

/* Returns a string member, or default_value if there is none of that type. */
const char *schema_string(const json_t *object, const char *name,
			  const char *default_value)
{
	const json_t *v = json_object_get(object, name);

	return json_is_string(v) ? json_string_value(v) : default_value;
}

/* Returns an integer member, or default_value if there is none of that type. */
long long schema_integer(const json_t *object, const char *name,
			 long long default_value)
{
	const json_t *v = json_object_get(object, name);

	return json_is_integer(v) ? json_integer_value(v) : default_value;
}

/* Returns a number member, or default_value if there is none of that type. */
double schema_real(const json_t *object, const char *name, double default_value)
{
	const json_t *v = json_object_get(object, name);

	return json_is_number(v) ? json_number_value(v) : default_value;
}

/* Returns a boolean member as 0 or 1, or default_value if there is none. */
int schema_boolean(const json_t *object, const char *name, int default_value)
{
	const json_t *v = json_object_get(object, name);

	return json_is_boolean(v) ? json_is_true(v) : default_value;
}
