package org.buckthornwheel.settings

import java.io.IOException
import java.security.GeneralSecurityException
import java.security.KeyStore
import kotlin.io.path.Path
import kotlin.io.path.isReadable
import kotlin.io.path.isRegularFile
import kotlin.io.path.readText

/** Checks that the files for TLS are readable and that the password opens the key store. */
internal object TlsRules {
    fun check(settings: TlsSettings): List<SettingsFinding> =
        check("$.tls.callers", settings.callers) + check("$.tls.administration", settings.administration)

    private fun check(path: String, files: KeyStoreFile?): List<SettingsFinding> {
        if (files == null) return emptyList()
        val unreadable = listOf("$path.file" to files.file, "$path.passwordFile" to files.passwordFile)
            .filterNot { (_, text) -> isReadableFile(text) }
            .map { (at, text) -> SettingsFinding(at, "'$text'", "the path of a readable file") }
        return unreadable.ifEmpty { listOfNotNull(checkKeyStore(path, files)) }
    }

    private fun isReadableFile(text: String): Boolean = try {
        Path(text).let { it.isRegularFile() && it.isReadable() }
    } catch (_: IllegalArgumentException) {
        false
    }

    private fun checkKeyStore(path: String, files: KeyStoreFile): SettingsFinding? = try {
        val password = Path(files.passwordFile).readText().trim().toCharArray()
        val store = KeyStore.getInstance(Path(files.file).toFile(), password)
        val keys = store.aliases().toList().count(store::isKeyEntry)
        SettingsFinding("$path.file", "$keys private keys", "a key store with one private key").takeIf { keys != 1 }
    } catch (failure: IOException) {
        unreadableKeyStore(path, failure)
    } catch (failure: GeneralSecurityException) {
        unreadableKeyStore(path, failure)
    }

    private fun unreadableKeyStore(path: String, failure: Exception): SettingsFinding =
        SettingsFinding("$path.file", "${failure.message}", "a PKCS#12 key store that the password opens")
}
