#include <sodium.h>
#include <string.h>

#include "path/path.h"

void kl_key_hash(const char *key, char hex[2 * KL_KEY_HASH_BYTES + 1])
{
	unsigned char hash[KL_KEY_HASH_BYTES];

	crypto_generichash(hash, sizeof(hash), (const unsigned char *)key,
			   strlen(key), NULL, 0);
	sodium_bin2hex(hex, 2 * KL_KEY_HASH_BYTES + 1, hash, sizeof(hash));
}

int kl_authenticate(const kl_view_t *view, const kl_path_settings_t *settings,
		    const char *hash, const char *workspace,
		    const char *service)
{
	const kl_service_t *entry;
	const kl_key_t *key;
	uint64_t confirmed_us;

	if (!view->config)
		return -KL_E_STALE_CONFIG;
	confirmed_us =
		view->confirmation ? view->confirmation->confirmed_us : 0;
	if (settings->stale_after_us &&
	    view->now_us - confirmed_us > settings->stale_after_us)
		return -KL_E_STALE_CONFIG;
	entry = kl_index_get(view->config->service_index, service);
	if (!entry)
		return -KL_E_NOT_FOUND;
	if (entry->anonymous && !strcmp(entry->anonymous_workspace, workspace))
		return 0;
	key = kl_index_get(view->config->key_index, hash);
	if (!key || strcmp(key->workspace->name.name, workspace))
		return -KL_E_AUTH;
	return key->withdrawn ? -KL_E_KEY_WITHDRAWN : 0;
}
