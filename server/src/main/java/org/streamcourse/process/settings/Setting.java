package org.streamcourse.process.settings;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/** Describes a field of a settings file; the reference page is generated from it. */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.RECORD_COMPONENT)
public @interface Setting {
  /**
   * Returns the purpose of the field.
   *
   * @return one sentence
   */
  String value();

  /**
   * Returns the unit of the value.
   *
   * @return unit, empty if there is none
   */
  String unit() default "";

  /**
   * Returns the default value.
   *
   * @return default, empty if the field is required
   */
  String fallback() default "";

  /**
   * Returns the smallest valid number.
   *
   * @return minimum
   */
  long min() default Long.MIN_VALUE;

  /**
   * Returns the largest valid number.
   *
   * @return maximum
   */
  long max() default Long.MAX_VALUE;
}
