/**
 * The settings of a controller: {@link org.hollypick.config.Settings} is read from the platform's TOML file,
 * {@link org.hollypick.config.OperatorSettings} from the operators' optional EDN file. Both are validated when they are
 * read, and an invalid file is rejected with a {@link org.hollypick.config.ConfigException}.
 */
package org.hollypick.config;
