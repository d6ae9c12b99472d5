#include "announcement.h"

#include "util.h"

#include <json-c/json.h>
#include <string.h>

#define ANNOUNCEMENT_NESTING_MAX 4
#define SLOTS_MAX 65536

/*
 * Names are written to JSON and metrics unescaped, so they are printable ASCII without
 * blanks, quotes and backslashes.
 */
static bool
name_is_plain(const char *name)
{
	if (name[0] == '\0')
		return false;
	for (; *name != '\0'; name++) {
		if (*name <= ' ' || *name > '~' || *name == '"' || *name == '\\')
			return false;
	}
	return true;
}

static const char *
field_text(struct json_object *object, const char *key, char *target, size_t size)
{
	struct json_object *value;

	if (!json_object_object_get_ex(object, key, &value) ||
	    !json_object_is_type(value, json_type_string))
		return "a text field is missing";
	if (string_copy(target, size, json_object_get_string(value)) != MASTICPITCH_OK)
		return "a text field is too long";
	return name_is_plain(target) ? NULL : "a text field has forbidden characters";
}

static const char *
field_count(struct json_object *object, const char *key, uint32_t *target)
{
	struct json_object *value;
	int64_t number;

	if (!json_object_object_get_ex(object, key, &value) ||
	    !json_object_is_type(value, json_type_int))
		return "slots or connections is missing";
	number = json_object_get_int64(value);
	if (number < 1 || number > SLOTS_MAX)
		return "slots or connections is out of range";
	*target = (uint32_t)number;
	return NULL;
}

static const char *
field_state(struct json_object *object, instance_state_t *state)
{
	char text[16];

	if (field_text(object, "state", text, sizeof(text)) != NULL)
		return "state is missing";
	if (strcmp(text, "ready") == 0)
		*state = INSTANCE_READY;
	else if (strcmp(text, "starting") == 0)
		*state = INSTANCE_STARTING;
	else if (strcmp(text, "leaving") == 0)
		*state = INSTANCE_LEAVING;
	else
		return "state is not starting, ready or leaving";
	return NULL;
}

static const char *
announcement_read(struct json_object *object, gate_backend_t *backend)
{
	struct json_object *load;
	char address[ADDRESS_TEXT_BYTES];
	const char *error;

	if (!json_object_is_type(object, json_type_object))
		return "not a JSON object";
	if ((error = field_text(object, "service", backend->service, NAME_BYTES)) !=
		NULL ||
	    (error = field_text(object, "instance", backend->instance, NAME_BYTES)) !=
		NULL ||
	    (error = field_text(object, "boot", backend->boot, GATE_BOOT_BYTES)) !=
		NULL ||
	    (error = field_text(object, "address", address, sizeof(address))) != NULL ||
	    (error = field_count(object, "slots", &backend->slots)) != NULL ||
	    (error = field_count(object, "connections", &backend->connections)) != NULL ||
	    (error = field_state(object, &backend->state)) != NULL)
		return error;
	if (address_parse(address, &backend->address) != MASTICPITCH_OK ||
	    backend->address.port == 0)
		return "address is not IP:PORT";
	if (json_object_object_get_ex(object, "release", NULL) &&
	    (error = field_text(object, "release", backend->release, NAME_BYTES)) != NULL)
		return error;
	if (json_object_object_get_ex(object, "load", &load)) {
		backend->load = json_object_get_double(load);
		if (!json_object_is_type(load, json_type_double) &&
		    !json_object_is_type(load, json_type_int))
			return "load is not a number";
		if (!(backend->load >= 0.0 && backend->load <= 1.0))
			return "load is not between 0 and 1";
	}
	return NULL;
}

const char *
announcement_parse(const char *text, size_t size, gate_backend_t *backend)
{
	struct json_tokener *tokener = json_tokener_new_ex(ANNOUNCEMENT_NESTING_MAX);
	struct json_object *object;
	const char *error = "not valid JSON";

	if (tokener == NULL)
		return "no memory";
	object = json_tokener_parse_ex(tokener, text, (int)size + 1);
	if (object != NULL) {
		size_t end = json_tokener_get_parse_end(tokener);

		/* The tokener may have consumed the NUL after the text too. */
		if (end < size)
			end += strspn(text + end, " \t\r\n");
		error = end < size ? "text after the object"
				   : announcement_read(object, backend);
		json_object_put(object);
	}
	json_tokener_free(tokener);
	return error;
}

announcement_relation_t
announcement_classify(const gate_backend_t *known, const gate_backend_t *announced)
{
	bool same_instance = strcmp(known->instance, announced->instance) == 0;
	bool has_start_times = known->started_ms != 0 && announced->started_ms != 0;

	if (known->instance[0] == '\0')
		return ANNOUNCEMENT_SAME;
	if (has_start_times && announced->started_ms < known->started_ms)
		return ANNOUNCEMENT_STALE;
	if (!same_instance && !has_start_times && known->live)
		return ANNOUNCEMENT_OTHER_INSTANCE;
	if (!same_instance ||
	    (known->boot[0] != '\0' && strcmp(known->boot, announced->boot) != 0))
		return ANNOUNCEMENT_RESTARTED;
	if (announced->sequence != 0 && announced->sequence <= known->sequence)
		return ANNOUNCEMENT_STALE;
	return ANNOUNCEMENT_SAME;
}
